Feature: Answers come from one snapshot
  Scenario Outline: parts that do not belong to the pinned snapshot are dropped
    Given a query pinned to index version 1 of 2 shards
    When a part of shard "<shard>" at index version <version> arrives
    Then the coverage is <share>

    Examples:
      | shard | version | share |
      | s0000 | 1       | 0.5   |
      | s0000 | 2       | 0.0   |
      | s0009 | 1       | 0.0   |

  Scenario Outline: records that are repeated or in the wrong place are neither doubled nor lost
    Given a query pinned to index version 1 of 2 shards with <limit> records a page
    When shard "s0000" returns records <first> of <first_total>
    And shard "s0001" returns records <second> of <second_total>
    Then the merged page holds <page>
    And the merged total is <total>, exact <exact>
    And the next page starts behind <next>

    Examples:
      | limit | first           | first_total | second          | second_total | page            | total | exact | next    |
      | 4     | 0000-1,0000-2   | 2           | 0001-1          | 1            | 0000-1,0000-2,0001-1 | 3 | yes   | nothing |
      | 2     | 0000-1,0000-2   | 5           | 0001-1          | 1            | 0000-1,0000-2   | 6     | yes   | 0000-2  |
      | 4     | 0000-1,0001-1   | 2           | 0001-1          | 1            | 0000-1,0001-1   | 2     | no    | nothing |
      | 4     | 0000-1,0000-1   | 2           | 0001-1          | 1            | 0000-1,0001-1   | 2     | no    | nothing |
      | 2     | 0000-1          | 1           | 0000-0,0001-1   | 3            | 0000-1,0001-1   | 3     | no    | 0001-1  |
      | 3     | 0000-1,0000-2   | 2           | 0000-3,0000-4,0000-5 | 9       | 0000-1,0000-2   | 8     | no    | 0000-5  |

  Scenario: a part whose sort values have two types does not break the merge
    Given a query pinned to index version 1 of 2 shards with 4 records a page
    When shard "s0000" returns sort values "b,1"
    And shard "s0001" returns sort values "a,2"
    Then the merged sort values are "1,2,a,b"
