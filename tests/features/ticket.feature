Feature: Tickets
  Operators change the system only through numbered tickets.

  Scenario: An accepted ticket is in force everywhere
    Given a running deployment of the zones norr-a and norr-b in region norr
    When an operator submits a ticket with 4 upstreams for kassa
    Then the ticket is accepted with number 1
    And ticket 1 is in force at every entry instance
    And a look-up of kassa names entry instances of both zones

  Scenario: Of two operators who change the same upstream one is refused
    Given a running deployment of the zones norr-a and norr-b in region norr
    And a ticket with 4 upstreams for kassa is in force
    When two operators change kassa-0 from the same ticket
    Then one change is accepted, the other is refused because of ticket 2
