Feature: Which software version began a stream, by the lists alone

  Background:
    Given a history of lists in which a stream lasts for 30 s

  Scenario Outline: the only version
    When the lists show <lists>
    Then the only version of llm is <version> at <at> s

    Examples: a version is the only one after the time of a stream
      | lists                                 | version | at |
      | v1 from 0 s                           | v1      | 31 |
      | v1 from 0 s                           | unknown | 29 |
      | v1 from 0 s, v1.1 from 31 s           | unknown | 60 |
      | v1 from 0 s, v1.1 from 31 s           | v1.1    | 62 |

    Examples: several versions
      | lists                                 | version | at |
      | v1+v1.1 from 0 s                      | unknown | 90 |
      | v1+v1.1+v1.2 from 0 s                 | unknown | 90 |
      | v1 from 0 s, v1+v1.1 from 35 s        | unknown | 36 |

    Examples: a version that comes back
      | lists                                                 | version | at |
      | v1 from 0 s, v1.1 from 35 s, v1 from 36 s             | unknown | 65 |
      | v1 from 0 s, v1.1 from 35 s, v1 from 36 s             | v1      | 67 |

    Examples: a service without instances
      | lists                                                 | version | at |
      | none from 0 s                                         | unknown | 90 |
      | none from 0 s, v1 from 40 s                           | v1      | 50 |
      | v1 from 0 s, none from 40 s                           | v1      | 50 |
      | v1 from 0 s, none from 40 s, v1.1 from 45 s           | unknown | 50 |

  Scenario Outline: when the only version may be known
    When the lists show <lists>
    Then the only version of llm may be known <seconds> s after <at> s

    Examples:
      | lists                                 | seconds | at |
      | v1 from 0 s                           | 30      | 0  |
      | v1 from 0 s                           | 10      | 20 |
      | v1 from 0 s                           | 0       | 40 |
      | v1 from 0 s, v1.1 from 35 s           | 25      | 40 |
      | v1 from 0 s, v1+v1.1 from 35 s        | 30      | 50 |

  Scenario Outline: a time without lists
    When the lists show v1 from 0 s
    And no list comes from 40 s to <end> s
    Then the only version of llm is <version> at 50 s

    Examples:
      | end | version |
      | 42  | v1      |
      | 44  | unknown |

  Scenario Outline: the versions on record
    Given llm has <recorded> on record
    When its latest instances have the versions <listed> for <seconds> s
    Then <planned> is to be on record

    Examples:
      | recorded | listed  | seconds | planned    |
      | nothing  | v1      | 0       | earlier+v1 |
      | v1       | v1      | 90      | v1         |
      | v1       | v1+v1.1 | 0       | v1+v1.1    |
      | v1+v1.1  | v1.1    | 29      | v1+v1.1    |
      | v1+v1.1  | v1.1    | 31      | v1.1       |
      | v1       | none    | 29      | v1         |
      | v1       | none    | 31      | nothing    |

  Scenario: the number of records is limited, and they expire
    Given records of 60000 streams, each of which lasts for 10 s
    Then 50000 of them are known, the latest ones
    And none of them is known 10 s later
