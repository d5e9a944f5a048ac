Feature: what is read after a pause arrived at the pause's beginning at the earliest

  Scenario Outline: a request is read
    Given a process that last ticked at 10 s
    When <paused> s go by, it ticks <ticks> and <read> s later a request is read
    Then the request arrived at <arrived> s

    Examples:
      | paused | ticks | read | arrived |
      | 0.02   | once  | 0.01 | 10.03   |
      | 5      | never | 0    | 10      |
      | 5      | once  | 0    | 10      |
      | 5      | once  | 0.05 | 10      |
      | 5      | once  | 0.2  | 15.2    |
