Feature: an entry outlasts answers of the store that can't be read

  # Guards against an answer that ends the thread which follows the store, or that sets
  # its revision beyond every later one: the entry then knows no change any more.
  @fixture.route-site.1
  Scenario Outline: an entry goes on following a store that answered with <odd>
    When the store answers with <odd> for 2 seconds
    Then all entries serve "/safe/ok"
    When version 2 is published with the route "/new/"
    Then all entries serve "/new/ok"

    Examples:
      | odd                              |
      | 100,000 levels                   |
      | 100,000 levels in unknown fields |
      | a revision of 400 digits         |
      | items of revisions of 400 digits |
      | a revision of 5,000 digits       |

  # Guards against the same when the entry has just started and knows nothing yet.
  @fixture.route-site.1
  Scenario Outline: an entry that starts while the store answers with <odd> serves later
    Given "entry-0" ends
    When "entry-0" starts while the store answers with <odd>
    Then all entries serve "/safe/ok"

    Examples:
      | odd                              |
      | 100,000 levels in unknown fields |
      | a revision of 400 digits         |
      | items of revisions of 400 digits |
