Feature: A merged answer holds each record of one snapshot once

  Scenario Outline: only the pinned snapshot counts: shard <shard>, version <version>: coverage <coverage>
    Given a query pinned to index version 1 with 2 shards
    When a result of shard "<shard>" at index version <version> arrives
    Then the coverage is <coverage>

    Examples:
      | shard | version | coverage |
      | s0000 | 1       | 0.5      |
      | s0000 | 2       | 0.0      |
      | s0009 | 1       | 0.0      |

  Scenario Outline: shards return <first> and <second>: the page contains <page>
    Given a query pinned to index version 1 with 2 shards and <limit> records per page
    When shard "s0000" returns records <first> of <first_total>
    And shard "s0001" returns records <second> of <second_total>
    Then the merged page contains <page>
    And the merged total is <total>, exact: <exact>
    And the position of the next page is <next>

    Examples: all records are in the key ranges of their shards
      | limit | first         | first_total | second | second_total | page                 | total | exact | next   |
      | 4     | 0000-1,0000-2 | 2           | 0001-1 | 1            | 0000-1,0000-2,0001-1 | 3     | yes   | none   |
      | 2     | 0000-1,0000-2 | 5           | 0001-1 | 1            | 0000-1,0000-2        | 6     | yes   | 0000-2 |

    Examples: repeated records and records outside the key range are dropped
      | limit | first         | first_total | second               | second_total | page          | total | exact | next   |
      | 4     | 0000-1,0001-1 | 2           | 0001-1               | 1            | 0000-1,0001-1 | 2     | no    | none   |
      | 4     | 0000-1,0000-1 | 2           | 0001-1               | 1            | 0000-1,0001-1 | 2     | no    | none   |
      | 2     | 0000-1        | 1           | 0000-0,0001-1        | 3            | 0000-1,0001-1 | 3     | no    | 0001-1 |
      | 3     | 0000-1,0000-2 | 2           | 0000-3,0000-4,0000-5 | 9            | 0000-1,0000-2 | 8     | no    | 0000-5 |

  Scenario: numeric sort values precede text
    Given a query pinned to index version 1 with 2 shards and 4 records per page
    When shard "s0000" returns sort values "b,1"
    And shard "s0001" returns sort values "a,2"
    Then the merged sort values are "1,2,a,b"
