@fixture.fleet.cooperative.roomy
Feature: every fault at every step of a stage
  After each scenario every call is held against what the backend servers ran: nothing
  lost, doubled, crossed, or untruthfully refused.

  Scenario Outline: faults on the way of <stage> in <pipeline>, <form>
    When "cut, reset, garbage, slow, silent, late" strike "<pipeline>" at "<stage>", <form>, in each of "arrive, ran, head, middle, end, after"
    Then every promise holds

    Examples:
      | pipeline          | stage    | form     |
      | damage-assessment | intake   | whole    |
      | caption           | encode   | whole    |
      | name-chat         | retrieve | whole    |
      | damage-assessment | rerank   | whole    |
      | caption           | write    | whole    |
      | caption           | write    | streamed |
      | order-status      | look-up  | whole    |
      | order-status      | charge   | whole    |

  Scenario Outline: wrong answers of <stage> in <pipeline>, <form>
    When "<faults>" strike "<pipeline>" at "<stage>", <form>, in each of "answer"
    Then every promise holds

    Examples:
      | pipeline     | stage    | form     | faults |
      | caption      | encode   | whole    | crossed, crossed-refusal, refuse, error, truncated, short-length, long-length, long-length-closed, no-length, garbage-status, duplicated, oversize, deep, nested |
      | name-chat    | retrieve | whole    | crossed, crossed-refusal, refuse, error, truncated, short-length, long-length, long-length-closed, no-length, garbage-status, duplicated, oversize, deep, nested |
      | caption      | write    | whole    | crossed, crossed-refusal, refuse, error, truncated, short-length, long-length, long-length-closed, no-length, garbage-status, duplicated, oversize, deep, nested |
      | caption      | write    | streamed | crossed, crossed-refusal, refuse, error, truncated, garbage-status, duplicated, oversize, deep, nested, no-choices, stream-crossed, stream-unended, beyond-end, no-last-chunk |
      | order-status | charge   | whole    | crossed, crossed-refusal, refuse, error, truncated, short-length, long-length, long-length-closed, no-length, garbage-status, duplicated, oversize, deep, nested |

  Scenario Outline: the same fault twice at <stage> in <pipeline>, <form>
    When "cut, reset, silent, crossed, refuse" strike twice "<pipeline>" at "<stage>", <form>
    Then every promise holds

    Examples:
      | pipeline     | stage  | form     |
      | caption      | encode | whole    |
      | caption      | write  | streamed |
      | order-status | charge | whole    |

  Scenario Outline: a backend server is <fault> at any stage, <position>
    When a backend server is <fault> at each stage, "<position>"
    Then every promise holds

    Examples:
      | fault  | position |
      | killed | arrive   |
      | killed | ran      |
      | killed | middle   |
      | killed | after    |
      | frozen | arrive   |
      | frozen | ran      |
      | frozen | middle   |
      | frozen | after    |

  Scenario Outline: an entry is <fault> while <stage> of <pipeline> is <position>, <form>
    When an entry is <fault> at "<stage>" of "<pipeline>", <form>, in each of "<position>"
    Then every promise holds

    Examples:
      | fault  | pipeline     | stage    | form     | position              |
      | killed | caption      | encode   | whole    | arrive, ran, head     |
      | killed | caption      | write    | streamed | ran, middle, end      |
      | killed | order-status | charge   | whole    | arrive, ran, after    |
      | frozen | caption      | encode   | whole    | arrive, ran, head     |
      | frozen | caption      | write    | streamed | ran, middle, end      |
      | frozen | order-status | charge   | whole    | arrive, ran, after    |
