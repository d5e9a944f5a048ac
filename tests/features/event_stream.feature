Feature: streams are passed on in whole events

  Scenario Outline: events come once and in order, whoever sends them
    Given a caller that has the events up to <last>
    When the parts "<parts>" come
    Then the events "<events>" are passed on, and the stream <end>

    Examples:
      | last | parts                  | events  | end                        |
      | none | 1, 2, 3                | 1, 2, 3 | ends whole                 |
      | none | 1, half 2, rest 2      | 1, 2    | ends whole                 |
      | none | 1, half 2              | 1       | ends with half an event    |
      | none | 1, half 2, break, 2, 3 | 1, 2, 3 | ends whole                 |
      | none | 1, 2, break, 2, 3      | 1, 2, 3 | ends whole                 |
      | none | 1, 3                   | 1       | breaks at a gap            |
      | 4    | 5, 6                   | 5, 6    | ends whole                 |
      | 4    | 4, 5                   | 5       | ends whole                 |
      | 4    | 6                      |         | breaks at a gap            |
