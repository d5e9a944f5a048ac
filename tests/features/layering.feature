Feature: lower packages never import upper ones

  Scenario: the packages stand in the order that the library's docstring gives
    Then no module imports a package above its own or beside it

  Scenario: every module says what it is for and stays small
    Then every module opens with a docstring, and none has more than 400 lines
