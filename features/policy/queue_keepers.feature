Feature: Which services have a shared queue, who keeps it, and when it grants

  Scenario Outline: a service needs a queue if its slots are fewer than the gateways
    Given instances with <slots> slots and <gateways> gateways, <state>
    Then the service <needs> a queue

    Examples:
      | slots  | gateways | state              | needs         |
      | 6 6 6  | 19       | without a queue    | needs         |
      | 6 6 6  | 18       | without a queue    | does not need |
      | 6 6 6  | 18       | with a queue       | needs         |
      | 6 6 6  | 15       | with a queue       | does not need |
      | 6 0 6  | 19       | without a queue    | does not need |
      | 0      | 19       | with a queue       | does not need |

  Scenario: services keep their keeper if another gateway leaves
    Given 200 services with queues before 20 gateways
    When gateway 7 leaves
    Then only its own services have another keeper
    And gateways that cannot reach a service do not keep its queue

  Scenario Outline: a keeper grants only while no other one can
    Given a gateway that hears from control every 250 ms
    When <event>
    Then it grants slots <when>

    Examples:
      | event                                             | when             |
      | its first list makes it the keeper                | after 1500 ms    |
      | it was the keeper and hears nothing               | until 1000 ms    |
      | it was the keeper and heard nothing for 1200 ms   | after 1500 ms    |
      | it was the keeper and heard nothing for 900 ms    | after 0 ms       |
      | another list makes another gateway the keeper     | until 0 ms       |
