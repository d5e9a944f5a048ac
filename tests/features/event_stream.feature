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

  # Guards against a long event that occupies the processor because each read joins all
  # parts received before.
  Scenario: an event that comes in small parts is held once
    When 1000000 bytes of an event come in parts of 4096 bytes
    Then at most 1500000 bytes were held at once

  Scenario: however a stream is cut into parts, its events are the same
    Then any parts of a stream give the events that it gives as a whole
