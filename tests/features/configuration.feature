Feature: A configuration version becomes active in all processes and is never rolled back

  Scenario Outline: a version that one process has read reaches all others, network: <fault>
    Given configuration version 1 is active in 3 data centre(s) with 8 hosts each
    And the network between the processes has "<fault>"
    When only one process reads configuration version 2
    Then configuration version 2 is active in all processes within <limit> s

    Examples:
      | fault              | limit |
      | no fault           | 1     |
      | 10 % datagram loss | 1     |
      | 33 % datagram loss | 5     |
      | one-way partitions | 5     |

  Scenario Outline: a process without the platform gets a document with <shards> shards from its peers
    Given configuration version 1 with <shards> shards is active in 1 data centre(s) with 3 hosts each
    When another process starts without access to the platform
    Then configuration version 1 is active in all processes within <limit> s
    And the configuration is confirmed in all processes within 2 s

    Examples:
      | shards | limit |
      | 2      | 2     |
      | 6000   | 5     |

  Scenario Outline: the active version is not rolled back by <source>
    Given configuration version 3 is active in 1 data centre(s) with 3 hosts each
    When the fleet is disturbed by "<source>"
    Then configuration version 3 is still active in all processes after 10 s and was never rolled back

    Examples:
      | source                         |
      | a stale read                   |
      | an older base                  |
      | a stale peer                   |
      | a new process with stale reads |
      | a rolling restart              |

  Scenario Outline: a version conflict is resolved, <case>: <kept> is kept
    Given configuration version 2 is active in 1 data centre(s) with 4 hosts each
    When <others> <state> process(es) have another document as version 2
    Then all processes have the same document within 5 s
    And "<kept>" is kept

    Examples:
      | case                                        | others | state     | kept                              |
      | a new process has read a restored platform  | 1      | new       | the document of the first process |
      | half of the processes have another document | 2      | confirmed | either document                   |

  Scenario Outline: the platform is <platform>, <peer> reports: confirmed after 0.5 s: <early>, 30 s: <late>
    Given a process that starts at 0 s with configuration version 3
    When the platform is <platform> and <peer> reports its configuration version
    Then the configuration is confirmed after 0.5 s: "<early>", and after 30 s: "<late>"

    Examples:
      | platform | peer                                  | early | late |
      | not read | no peer                               | no    | no   |
      | read     | no peer                               | no    | yes  |
      | not read | a confirmed peer                      | yes   | yes  |
      | not read | an unconfirmed peer                   | no    | no   |
      | read     | an unconfirmed peer                   | no    | yes  |
      | read     | a confirmed peer with a newer version | no    | yes  |
