Feature: links between entries under TLS, and a change of the peer key
  Certificates are made by the test.

  Scenario Outline: only a peer with a certificate of the deployment is heard
    Given an authority and a listening entry with its certificate for "cooperative"
    When a peer with a certificate of <authority> for "<name>" probes it <how>
    Then the probe is <result>

    Examples:
      | authority         | name        | how       | result     |
      | the authority     | cooperative | under TLS | answered   |
      | another authority | cooperative | under TLS | unanswered |
      | the authority     | cooperative | in clear  | unanswered |

  Scenario: a peer does not speak to a certificate for another deployment
    Given an authority and a listening entry with its certificate for "consortium"
    When a peer with a certificate of the authority for "cooperative" probes it under TLS
    Then the probe is unanswered

  Scenario: unusable certificate files are a fault that quotes nothing
    Given certificate files that hold "a-secret-in-the-wrong-file"
    Then loading them is a fault at "peer.tls" without that text

  Scenario: the peer key is changed without a moment in which entries are deaf
    Given an entry with the key "old-key-of-16-bytes" that accepts "new-key-of-16-bytes"
    And an entry with the key "new-key-of-16-bytes" that accepts "old-key-of-16-bytes"
    Then each opens what the other seals
    But an entry with the key "new-key-of-16-bytes" alone refuses the old one

  @fixture.fleet.cooperative
  Scenario: a client account's key is changed without a refusal
    When the document gives "patan-counter" a second key "the-next-key"
    Then its old key and its key "the-next-key" are answered
    When the document gives "patan-counter" only the key "the-next-key"
    Then its old key is refused and its key "the-next-key" is answered
