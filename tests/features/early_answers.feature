Feature: An early answer is given only when what is missing is unlikely to come in time
  Scenario Outline: at a soft deadline of 100 ms and a deadline of 1000 ms
    Given a service whose rule is <rule> with minimum coverage <minimum>
    And past answers that took <past> ms
    When <share> of the shards is included after <now> ms
    Then the early answer is <given>

    Examples:
      | rule           | minimum | past                | share | now | given |
      | latency_first  | 0.0     | 10,10,10,10         | 0.9   | 90  | no    |
      | latency_first  | 0.0     | 10,10,10,10         | 0.9   | 100 | yes   |
      | latency_first  | 0.0     | 105,110,115,120     | 0.9   | 100 | no    |
      | latency_first  | 0.0     | 500,500,500,500     | 0.9   | 100 | yes   |
      | latency_first  | 0.95    | 10,10,10,10         | 0.9   | 100 | no    |
      | latency_first  | 0.0     | 10,10,10,10         | 0.0   | 100 | no    |
      | coverage_first | 0.0     | 10,10,10,10         | 0.9   | 100 | no    |
      | coverage_first | 0.0     | 500,500,500,500     | 0.9   | 100 | no    |
      | coverage_first | 0.0     | 5000,5000,5000,5000 | 0.9   | 100 | yes   |
      | coverage_first | 0.0     | 5000,5000,5000,500  | 0.9   | 100 | no    |

  Scenario Outline: groups that were given up on tell nothing of what would have come later
    Given a service whose rule is coverage_first with minimum coverage 0.0
    And past waits of <waits> ms without an answer
    When 0.9 of the shards is included after 100 ms
    Then the early answer is <given>

    Examples:
      | waits               | given |
      | 110,110,110,110     | no    |
      | 1000,1000,1000,1000 | yes   |
