Feature: A query is sent to another owner only if that is safe

  Scenario Outline: <kind> query, owner: <first>, next aggregator: <second>
    Given the run of a <kind> query
    When its owner responds with "<first>" and the next aggregator with "<second>"
    Then the run asks "<asked>", ends after <took> ms and includes a fraction of <fraction>
    And the run may report "not run": <not_run>, with the error "<error>"

    Examples: the owner is unreachable, stops or has lost the group
      | kind           | first       | second      | asked       | took | fraction | not_run | error             |
      | repeatable     | answers     | silent      | a1          | 10   | 1.0      | no      | none              |
      | repeatable     | lost_unsent | answers     | a1,takeover | 20   | 1.0      | no      | none              |
      | repeatable     | lost_sent   | answers     | a1,takeover | 20   | 1.0      | no      | none              |
      | non-repeatable | lost_unsent | answers     | a1,takeover | 20   | 1.0      | no      | none              |
      | non-repeatable | lost_sent   | answers     | a1          | 10   | 0.0      | no      | outcome_unknown   |
      | repeatable     | stopping    | answers     | a1,takeover | 20   | 1.0      | no      | none              |
      | non-repeatable | stopping    | answers     | a1,takeover | 20   | 1.0      | no      | none              |
      | non-repeatable | not_owner   | lost_unsent | a1,takeover | 20   | 0.0      | yes     | owner_unreachable |
      | repeatable     | not_owner   | stopping    | a1,takeover | 20   | 0.0      | yes     | stopping          |

    Examples: the owner does not respond
      | kind           | first  | second   | asked       | took | fraction | not_run | error             |
      | repeatable     | silent | answers  | a1,takeover | 30   | 1.0      | no      | none              |
      | non-repeatable | silent | answers  | a1          | 1000 | 0.0      | no      | deadline_exceeded |
      | repeatable     | silent | silent   | a1,takeover | 1000 | 0.0      | no      | deadline_exceeded |
      | repeatable     | silent | stopping | a1,takeover | 1000 | 0.0      | no      | coverage_too_low  |

    Examples: the owner refuses the request or returns a wrong answer
      | kind           | first         | second  | asked | took | fraction | not_run | error         |
      | repeatable     | overloaded    | answers | a1    | 10   | 0.0      | yes     | overloaded    |
      | non-repeatable | overloaded    | answers | a1    | 10   | 0.0      | yes     | overloaded    |
      | repeatable     | shed          | answers | a1    | 10   | 0.0      | no      | backend_shed  |
      | repeatable     | gone          | answers | a1    | 10   | 0.0      | yes     | snapshot_gone |
      | repeatable     | wrong_version | answers | a1    | 10   | 0.0      | no      | snapshot_gone |
      | repeatable     | leaves_out    | answers | a1    | 10   | 0.0      | no      | backend_fault |
      | repeatable     | repeats       | answers | a1    | 10   | 1.0      | no      | none          |
