Feature: A query asks other owners only where that is safe
  Scenario Outline: what the owner and the next aggregator do with a request
    Given a query run that is <kind>
    When its owner <first> and the next aggregator <second>
    Then the run asks "<asked>", is over after <took> ms and includes <share>
    And the run may say "not run": <not_run>, with the error "<error>"

    Examples: the owner is not there
      | kind           | first       | second  | asked       | took | share | not_run | error               |
      | repeatable     | answers     | silent  | a1          | 10   | 1.0   | no      | none                |
      | repeatable     | lost_unsent | answers | a1,takeover | 20   | 1.0   | no      | none                |
      | repeatable     | lost_sent   | answers | a1,takeover | 20   | 1.0   | no      | none                |
      | not repeatable | lost_unsent | answers | a1,takeover | 20   | 1.0   | no      | none                |
      | not repeatable | lost_sent   | answers | a1          | 10   | 0.0   | no      | outcome_unknown     |
      | repeatable     | stopping    | answers | a1,takeover | 20   | 1.0   | no      | none                |
      | not repeatable | stopping    | answers | a1,takeover | 20   | 1.0   | no      | none                |
      | not repeatable | not_owner   | lost_unsent | a1,takeover | 20 | 0.0 | yes     | owner_unreachable   |
      | repeatable     | not_owner   | stopping | a1,takeover | 20  | 0.0   | yes     | stopping            |

    Examples: the owner is silent
      | kind           | first       | second  | asked       | took | share | not_run | error               |
      | repeatable     | silent      | answers | a1,takeover | 30   | 1.0   | no      | none                |
      | not repeatable | silent      | answers | a1          | 1000 | 0.0   | no      | deadline_exceeded   |
      | repeatable     | silent      | silent  | a1,takeover | 1000 | 0.0   | no      | deadline_exceeded   |
      | repeatable     | silent      | stopping | a1,takeover | 1000 | 0.0  | no      | coverage_too_low    |

    Examples: the owner refuses or answers wrongly
      | kind           | first         | second  | asked | took | share | not_run | error            |
      | repeatable     | overloaded    | answers | a1    | 10   | 0.0   | yes     | overloaded       |
      | not repeatable | overloaded    | answers | a1    | 10   | 0.0   | yes     | overloaded       |
      | repeatable     | shed          | answers | a1    | 10   | 0.0   | no      | backend_shed     |
      | repeatable     | gone          | answers | a1    | 10   | 0.0   | yes     | snapshot_gone    |
      | repeatable     | wrong_version | answers | a1    | 10   | 0.0   | no      | snapshot_gone    |
      | repeatable     | leaves_out    | answers | a1    | 10   | 0.0   | no      | backend_fault    |
      | repeatable     | repeats       | answers | a1    | 10   | 1.0   | no      | none             |
