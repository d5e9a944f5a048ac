@fixture.fleet.cooperative.roomy
Feature: every fault at the steps of an entry, its callers and the platform
  After each scenario every call is held against what the backend servers ran.

  Scenario Outline: the platform is <fault> while calls go on
    When the platform is <fault> and every entry is called, whole and streamed
    Then every call ended answered
    And every promise holds

    Examples:
      | fault     |
      | down      |
      | silent    |
      | killed    |
      | lagging   |
      | talking nonsense |

  Scenario Outline: an entry is <fault> when a caller asks which to use
    When "entry-1" is <fault> and a caller that knows it first asks and calls
    Then every call ended answered
    And every promise holds

    Examples:
      | fault    |
      | killed   |
      | frozen   |
      | stopping |

  Scenario Outline: an entry is <fault> when calls reach it
    When "entry-2" is <fault> for <seconds> s while calls of <left> ms come in
    Then every call ended <outcome>
    And every promise holds

    Examples:
      | fault  | seconds | left | outcome  |
      | frozen | 0.2     | 5000 | answered |
      | frozen | 1.5     | 700  | refused  |

  Scenario Outline: an entry is <fault> while calls wait in a row
    When "entry-3" is <fault> with 40 calls in hand
    Then every promise holds

    Examples:
      | fault  |
      | killed |
      | frozen |

  Scenario Outline: an entry is <fault> and in the same moment its server is struck
    When an entry is <fault> and its server does "cut, reset, kill, freeze" at "<stage>" of "<pipeline>", <form>
    Then every promise holds

    Examples:
      | fault  | pipeline     | stage  | form     |
      | killed | caption      | write  | streamed |
      | frozen | caption      | write  | streamed |
      | killed | order-status | charge | whole    |
      | frozen | order-status | charge | whole    |

  Scenario Outline: a caller <does> while its request is run
    When callers of "entry-4" <does> while "encode" of "caption", "write" of "caption" and "charge" of "order-status" are run
    Then "entry-4" has nothing in hand
    And no stage ran twice, and none after the one that was run

    Examples:
      | does                    |
      | go away                 |
      | reset their connection  |
      | close their sending side |

  Scenario Outline: an input nested <depth> deep has one typed outcome
    When "caption" is called with an input nested <depth> deep
    Then every call ended <outcome>

    Examples:
      | depth | outcome  |
      | 60    | answered |
      | 200   | refused  |
      | 960   | refused  |
      | 5000  | refused  |
