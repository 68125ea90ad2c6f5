Feature: An early answer is returned only if missing shards are unlikely to answer in time

  Scenario Outline: <rule>, minimum <minimum>, answers took <past> ms, <fraction> included at <now> ms: <early>
    Given a service: soft deadline 100 ms, deadline 1000 ms, rule <rule>, minimum coverage <minimum>
    And past answers that took <past> ms
    When a fraction of <fraction> of the shards is included after <now> ms
    Then an early answer is returned: <early>

    Examples:
      | rule           | minimum | past                | fraction | now | early |
      | latency_first  | 0.0     | 10,10,10,10         | 0.9      | 90  | no    |
      | latency_first  | 0.0     | 10,10,10,10         | 0.9      | 100 | yes   |
      | latency_first  | 0.0     | 105,110,115,120     | 0.9      | 100 | no    |
      | latency_first  | 0.0     | 500,500,500,500     | 0.9      | 100 | yes   |
      | latency_first  | 0.95    | 10,10,10,10         | 0.9      | 100 | no    |
      | latency_first  | 0.0     | 10,10,10,10         | 0.0      | 100 | no    |
      | coverage_first | 0.0     | 10,10,10,10         | 0.9      | 100 | no    |
      | coverage_first | 0.0     | 500,500,500,500     | 0.9      | 100 | no    |
      | coverage_first | 0.0     | 5000,5000,5000,5000 | 0.9      | 100 | yes   |
      | coverage_first | 0.0     | 5000,5000,5000,500  | 0.9      | 100 | no    |

  Scenario Outline: calls abandoned after <waits> ms count only if they waited until the deadline: <early>
    Given a service: soft deadline 100 ms, deadline 1000 ms, rule coverage_first, minimum coverage 0.0
    And past calls that were abandoned without an answer after <waits> ms
    When a fraction of 0.9 of the shards is included after 100 ms
    Then an early answer is returned: <early>

    Examples:
      | waits               | early |
      | 110,110,110,110     | no    |
      | 1000,1000,1000,1000 | yes   |
