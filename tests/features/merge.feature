Feature: A merged answer comes from one snapshot

  Scenario Outline: only shard results of the pinned snapshot are included
    Given a query pinned to index version 1 with 2 shards
    When a result of shard "<shard>" at index version <version> arrives
    Then the coverage is <coverage>

    Examples:
      | shard | version | coverage |
      | s0000 | 1       | 0.5      |
      | s0000 | 2       | 0.0      |
      | s0009 | 1       | 0.0      |

  Scenario Outline: repeated or misplaced records are neither duplicated nor lost
    Given a query pinned to index version 1 with 2 shards and <limit> records per page
    When shard "s0000" returns records <first> of <first_total>
    And shard "s0001" returns records <second> of <second_total>
    Then the merged page contains <page>
    And the merged total is <total>, exact: <exact>
    And the next page starts after <next>

    Examples:
      | limit | first         | first_total | second               | second_total | page                 | total | exact | next    |
      | 4     | 0000-1,0000-2 | 2           | 0001-1               | 1            | 0000-1,0000-2,0001-1 | 3     | yes   | nothing |
      | 2     | 0000-1,0000-2 | 5           | 0001-1               | 1            | 0000-1,0000-2        | 6     | yes   | 0000-2  |
      | 4     | 0000-1,0001-1 | 2           | 0001-1               | 1            | 0000-1,0001-1        | 2     | no    | nothing |
      | 4     | 0000-1,0000-1 | 2           | 0001-1               | 1            | 0000-1,0001-1        | 2     | no    | nothing |
      | 2     | 0000-1        | 1           | 0000-0,0001-1        | 3            | 0000-1,0001-1        | 3     | no    | 0001-1  |
      | 3     | 0000-1,0000-2 | 2           | 0000-3,0000-4,0000-5 | 9            | 0000-1,0000-2        | 8     | no    | 0000-5  |

  Scenario: sort values of two types do not break the merge
    Given a query pinned to index version 1 with 2 shards and 4 records per page
    When shard "s0000" returns sort values "b,1"
    And shard "s0001" returns sort values "a,2"
    Then the merged sort values are "1,2,a,b"
