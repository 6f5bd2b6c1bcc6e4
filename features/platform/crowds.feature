@alone @crowd
Feature: Instances outlive callers that do not behave

  # Bodies of legal size that stopped short were held, with or without a key,
  # until the process had used up the memory of its machine.
  Scenario Outline: a gateway outlives <kind> <key>
    Given a platform whose machines have 160 MB and 1000 file descriptors
    When <count> callers <key> send <kind> to the gateway of instance 1
    Then ordinary requests are answered beside the crowd
    And the process has stayed within its memory and descriptors
    When the crowd has left
    Then ordinary requests are answered
    And no request that was refused has run
    And the gateway holds nothing any more

    Examples:
      | count | kind                                         | key           |
      | 30    | bodies that stop short                       | without a key |
      | 30    | bodies that stop short                       | with a key    |
      | 30    | bodies in small pieces that stop short       | with a key    |
      | 30    | large chunks that stop short                 | without a key |
      | 30    | large chunks that stop short                 | with a key    |
      | 30    | chunks of one byte that stop short           | with a key    |
      | 30    | whole bodies at once                         | with a key    |
      | 30    | whole bodies and second ones that stop short | with a key    |
      | 30    | announced bodies far over the limit          | with a key    |
      | 30    | chunked bodies far over the limit            | with a key    |

  # With a limit on what is held, bodies that stood still held all of it, and
  # everybody else was refused.
  Scenario Outline: large bodies are served beside <kind> under pressure
    Given a platform under pressure whose machines have 160 MB and 1000 file descriptors
    When 30 callers with a key send <kind> to the gateway of instance 1
    Then ordinary requests are answered beside the crowd
    And the process has stayed within its memory and descriptors

    Examples:
      | kind                         |
      | bodies that stop short       |
      | large chunks that stop short |

  # Parsing took all the time of the process, and its lease lapsed.
  Scenario: ordinary requests are answered beside many chunks of one byte
    Given a platform whose machines have 160 MB and 1000 file descriptors
    When 60 callers with a key send chunks of one byte that stop short to the gateway of instance 1
    Then ordinary requests are answered beside the crowd
    And the process has stayed within its memory and descriptors
    When the crowd has left
    Then ordinary requests are answered

  # Connections that stood still took all file descriptors.
  Scenario Outline: a gateway outlives more connections with <kind> than it has descriptors
    Given a platform whose machines have 160 MB and 300 file descriptors
    When 500 callers without a key send <kind> to the gateway of instance 1
    Then ordinary requests are answered beside the crowd
    And the process has stayed within its memory and descriptors
    When the crowd has left
    Then ordinary requests are answered

    Examples:
      | kind                         |
      | nothing                      |
      | heads that stop short        |
      | small bodies that stop short |

  # Bodies that grew at the same time fragmented the memory of the process.
  Scenario: a gateway outlives crowds that come again and again
    Given a platform whose machines have 140 MB and 1000 file descriptors
    When 60 callers with a key send large chunks that stop short to the gateway of instance 1, 8 times
    Then ordinary requests are answered
    And the process has stayed within its memory and descriptors

  # Each connection took a large buffer at the same time.
  Scenario: a gateway outlives small bodies on all its connections
    Given a platform whose machines have 160 MB and 4100 file descriptors
    When 900 callers with a key send small bodies that stop short to the gateway of instance 1
    Then ordinary requests are answered beside the crowd
    And the process has stayed within its memory and descriptors

  # These addresses took large bodies of any request, also where none is read.
  Scenario Outline: an instance outlives <kind> at its <page> address
    Given a platform whose machines have 160 MB and 1000 file descriptors
    When 20 callers send <kind> to the <page> address of instance 1
    Then ordinary requests are answered beside the crowd
    And the process has stayed within its memory and descriptors
    When the crowd has left
    Then ordinary requests are answered

    Examples:
      | kind                              | page      |
      | bodies that stop short            | directory |
      | large chunks that stop short      | directory |
      | chunked bodies far over the limit | directory |
      | bodies that stop short            | operators |
      | large chunks that stop short      | operators |
      | whole bodies at once              | operators |
      | bodies that stop short            | readiness |
      | bodies that stop short            | metrics   |

  Scenario: an instance outlives more connections than descriptors at its directory address
    Given a platform whose machines have 160 MB and 300 file descriptors
    When 500 callers send nothing to the directory address of instance 1
    Then ordinary requests are answered beside the crowd
    And the process has stayed within its memory and descriptors

  Scenario: an instance stops in time beside bodies that stop short
    Given a platform whose machines have 160 MB and 1000 file descriptors
    When 30 callers with a key send bodies that stop short to the gateway of instance 1
    And instance 1 gets SIGTERM beside the crowd
    Then instance 1 ends in time with code 0
