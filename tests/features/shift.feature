Feature: Shifts
  A shift moves traffic between regions up to the cap in its ticket.

  Scenario: A shift moves the client blocks below its cap
    Given a running deployment of the regions norr and vast
    And a ticket with 4 upstreams for kassa is in force
    When callers of 60 client blocks send requests to region norr
    Then all requests were served in norr
    When a shift of 40% of kassa from norr to vast reaches its cap
    And callers of 60 client blocks send requests to region norr
    Then only the client blocks below 40% were served in vast
