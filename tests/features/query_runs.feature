Feature: A query is sent to another aggregator only if that is safe

  Scenario Outline: <kind> query, owner: <first>, next aggregator: <second>: error <error>
    Given the run of one <kind> query
    When its owner reacts with "<first>" and the next aggregator with "<second>"
    Then the run asks "<asked>", ends after <took> ms and includes a fraction of <fraction> of the shards
    And the run may report "not run": <not_run>, with the error "<error>"

    Examples: the owner is unreachable, stops or has lost the group
      | kind           | first            | second           | asked          | took | fraction | not_run | error             |
      | idempotent     | answer           | no_response      | owner          | 10   | 1.0      | no      | none              |
      | idempotent     | link_lost_unsent | answer           | owner,takeover | 20   | 1.0      | no      | none              |
      | idempotent     | link_lost_sent   | answer           | owner,takeover | 20   | 1.0      | no      | none              |
      | non-idempotent | link_lost_unsent | answer           | owner,takeover | 20   | 1.0      | no      | none              |
      | non-idempotent | link_lost_sent   | answer           | owner          | 10   | 0.0      | no      | outcome_unknown   |
      | idempotent     | stopping         | answer           | owner,takeover | 20   | 1.0      | no      | none              |
      | non-idempotent | stopping         | answer           | owner,takeover | 20   | 1.0      | no      | none              |
      | non-idempotent | not_owner        | link_lost_unsent | owner,takeover | 20   | 0.0      | yes     | owner_unreachable |
      | idempotent     | not_owner        | stopping         | owner,takeover | 20   | 0.0      | yes     | stopping          |

    Examples: the owner does not respond
      | kind           | first       | second      | asked          | took | fraction | not_run | error             |
      | idempotent     | no_response | answer      | owner,takeover | 30   | 1.0      | no      | none              |
      | non-idempotent | no_response | answer      | owner          | 1000 | 0.0      | no      | deadline_exceeded |
      | idempotent     | no_response | no_response | owner,takeover | 1000 | 0.0      | no      | deadline_exceeded |
      | idempotent     | no_response | stopping    | owner,takeover | 1000 | 0.0      | no      | coverage_too_low  |

    Examples: the owner refuses the request or returns a wrong answer
      | kind           | first             | second | asked | took | fraction | not_run | error         |
      | idempotent     | overloaded        | answer | owner | 10   | 0.0      | yes     | overloaded    |
      | non-idempotent | overloaded        | answer | owner | 10   | 0.0      | yes     | overloaded    |
      | idempotent     | backend_shed      | answer | owner | 10   | 0.0      | no      | backend_shed  |
      | idempotent     | snapshot_gone     | answer | owner | 10   | 0.0      | yes     | snapshot_gone |
      | idempotent     | wrong_version     | answer | owner | 10   | 0.0      | no      | snapshot_gone |
      | idempotent     | no_results        | answer | owner | 10   | 0.0      | no      | backend_fault |
      | idempotent     | duplicate_results | answer | owner | 10   | 1.0      | no      | none          |
