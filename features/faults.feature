Feature: Feeds and writes survive processes that are killed, paused and restarted

  Scenario: Upgrading agents breaks no feed and loses no request
    Given the sundarban deployment runs as separate processes
    When 14 callers open feeds
    And each feed caller sends 1 measurement
    And upstream-1 is stopped and restarted
    And upstream-2 is stopped and restarted
    And each feed caller sends 1 measurement
    Then every write and sheet is served
    And every feed receives notifications
    And no feed was broken
    And no write was run twice

  Scenario: Upgrading every host in turn silences no feed
    Given the sundarban deployment runs as separate processes
    When 14 callers open feeds
    And every host is stopped and restarted in turn
    Then every feed receives notifications
    And no feed was broken

  Scenario: An agent that is killed and restarted keeps its feeds
    Given the sundarban deployment runs as separate processes
    When 14 callers open feeds
    And upstream-3 is killed and restarted
    Then every feed receives notifications
    And no feed was broken

  Scenario: A paused agent and a paused balancer resume without loss
    Given the sangam deployment runs as separate processes
    When 14 callers open feeds
    And upstream-4 is paused for 3 seconds
    And balancer-1 is paused for 3 seconds
    And each feed caller sends 1 measurement
    Then every feed receives notifications
    And no feed was broken
    And no write was run twice

  Scenario: A withdrawn failure domain receives nothing although a balancer was paused meanwhile
    Given the sangam deployment runs as separate processes
    When 14 callers open feeds
    And balancer-2 is paused while domain-3 is withdrawn
    Then the upstreams of domain-3 receive nothing after 5 seconds
    And every feed receives notifications

  Scenario: A restarted balancer gets its configuration from peers while the platform is down
    Given the sangam deployment runs as separate processes
    When 7 callers open feeds
    And the platform is down
    And balancer-1 is killed and restarted
    Then balancer-1 has the current configuration
    And every feed receives notifications
    And no feed was broken

  Scenario: Duplicated and reordered datagrams do not run a write twice
    Given the sangam deployment runs as separate processes
    When the fabric duplicates and delays datagrams
    And 7 callers open feeds
    And each feed caller sends 3 measurements
    Then every write and sheet is served
    And no write was run twice

  Scenario: Bad datagrams are counted and dropped
    Given the sangam deployment runs as separate processes
    When 7 callers open feeds
    And every socket of balancer-1 and upstream-1 receives 200 bad datagrams
    Then the bad datagrams are counted at balancer-1 and upstream-1
    And no bad datagram was answered
    And every feed receives notifications
    And no process reported a fault

  Scenario: An older document served by the platform is ignored
    Given the sangam deployment runs as separate processes
    When upstream-2 is set to draining
    And the platform serves the first version again
    Then every process keeps the latest version
