Feature: Shifts
  Traffic moves between regions under the cap of a ticket, and no further.

  Scenario: A shift moves the client blocks under its cap
    Given a running deployment of the regions norr and vast
    And a ticket with 4 upstreams for kassa is in force
    When callers of 60 client blocks ask the entry instances of norr
    Then all of them were served in norr
    When a shift of 40% of kassa from norr to vast is accepted and has risen
    And callers of 60 client blocks ask the entry instances of norr
    Then only the client blocks under 40% were served in vast
