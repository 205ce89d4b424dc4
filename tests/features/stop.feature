Feature: Planned stops
  Planned stops fail no request.

  Scenario: An entry instance stops while callers send requests
    Given a running deployment of the zones norr-a and norr-b in region norr
    And a ticket with 4 upstreams for kassa is in force
    When the entry instance norr-a-0 is stopped while callers read 200 balances
    Then every caller got the complete response to its own request
    And the stopped process exits with status 0

  Scenario: An upstream leaves by ticket
    Given a running deployment of the zones norr-a and norr-b in region norr
    And a ticket with 4 upstreams for kassa is in force
    When a ticket that makes kassa-0 leave is accepted
    Then kassa-0 gets no new requests 3 s after the ticket was accepted
