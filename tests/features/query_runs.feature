Feature: A query is sent to another aggregator only if that is safe

  Scenario Outline: <kind> query, owner: <first>, next aggregator: <second>: error <error>
    Given the run of a <kind> query
    When its owner reacts with "<first>" and the next aggregator with "<second>"
    Then the run asks "<asked>", ends after <took> ms and includes a fraction of <fraction> of the shards
    And the run may report "not run": <not_run>, with the error "<error>"

    Examples: the owner is unreachable, stops or has lost the group
      | kind           | first            | second           | asked          | took | fraction | not_run | error             |
      | repeatable     | answer           | no_response      | owner          | 10   | 1.0      | no      | none              |
      | repeatable     | link_lost_unsent | answer           | owner,takeover | 20   | 1.0      | no      | none              |
      | repeatable     | link_lost_sent   | answer           | owner,takeover | 20   | 1.0      | no      | none              |
      | non-repeatable | link_lost_unsent | answer           | owner,takeover | 20   | 1.0      | no      | none              |
      | non-repeatable | link_lost_sent   | answer           | owner          | 10   | 0.0      | no      | outcome_unknown   |
      | repeatable     | stopping         | answer           | owner,takeover | 20   | 1.0      | no      | none              |
      | non-repeatable | stopping         | answer           | owner,takeover | 20   | 1.0      | no      | none              |
      | non-repeatable | not_owner        | link_lost_unsent | owner,takeover | 20   | 0.0      | yes     | owner_unreachable |
      | repeatable     | not_owner        | stopping         | owner,takeover | 20   | 0.0      | yes     | stopping          |

    Examples: the owner does not respond
      | kind           | first       | second      | asked          | took | fraction | not_run | error             |
      | repeatable     | no_response | answer      | owner,takeover | 30   | 1.0      | no      | none              |
      | non-repeatable | no_response | answer      | owner          | 1000 | 0.0      | no      | deadline_exceeded |
      | repeatable     | no_response | no_response | owner,takeover | 1000 | 0.0      | no      | deadline_exceeded |
      | repeatable     | no_response | stopping    | owner,takeover | 1000 | 0.0      | no      | coverage_too_low  |

    Examples: the owner refuses the request or returns a wrong answer
      | kind           | first             | second | asked | took | fraction | not_run | error         |
      | repeatable     | overloaded        | answer | owner | 10   | 0.0      | yes     | overloaded    |
      | non-repeatable | overloaded        | answer | owner | 10   | 0.0      | yes     | overloaded    |
      | repeatable     | backend_shed      | answer | owner | 10   | 0.0      | no      | backend_shed  |
      | repeatable     | snapshot_gone     | answer | owner | 10   | 0.0      | yes     | snapshot_gone |
      | repeatable     | wrong_version     | answer | owner | 10   | 0.0      | no      | snapshot_gone |
      | repeatable     | no_results        | answer | owner | 10   | 0.0      | no      | backend_fault |
      | repeatable     | duplicate_results | answer | owner | 10   | 1.0      | no      | none          |
