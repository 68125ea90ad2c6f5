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
