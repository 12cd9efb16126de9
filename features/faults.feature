Feature: What must always hold, with real processes that are killed, paused and restarted

  Scenario: An agent's upgrade breaks no feed and cuts no request
    Given the sundarban deployment runs as separate processes
    When 14 callers open feeds
    And each feed caller sends 1 measurement
    And upstream-1 is stopped and started again
    And upstream-2 is stopped and started again
    And each feed caller sends 1 measurement
    Then every write and sheet is served
    And every feed has news
    And no feed was broken
    And no write has run twice

  Scenario: An agent that is killed and comes back keeps its feeds
    Given the sundarban deployment runs as separate processes
    When 14 callers open feeds
    And upstream-3 is killed and started again
    Then every feed has news
    And no feed was broken

  Scenario: A paused agent and a paused balancer go on where they were
    Given the sangam deployment runs as separate processes
    When 14 callers open feeds
    And upstream-4 is paused for 3 seconds
    And balancer-1 is paused for 3 seconds
    And each feed caller sends 1 measurement
    Then every feed has news
    And no feed was broken
    And no write has run twice

  Scenario: A withdrawn failure domain falls silent although a balancer was paused meanwhile
    Given the sangam deployment runs as separate processes
    When 14 callers open feeds
    And balancer-2 is paused while domain-3 is withdrawn
    Then the upstreams of domain-3 receive nothing after 5 seconds
    And every feed has news

  Scenario: A fresh balancer starts from its peers while the platform is down
    Given the sangam deployment runs as separate processes
    When 7 callers open feeds
    And the platform is down
    And balancer-1 is killed and started again
    Then balancer-1 has the current configuration
    And every feed has news
    And no feed was broken

  Scenario: Duplicated and reordered datagrams run no write twice
    Given the sangam deployment runs as separate processes
    When the fabric duplicates and delays datagrams
    And 7 callers open feeds
    And each feed caller sends 3 measurements
    Then every write and sheet is served
    And no write has run twice

  Scenario: Bad datagrams are counted and dropped
    Given the sangam deployment runs as separate processes
    When 7 callers open feeds
    And every socket of balancer-1 and upstream-1 gets 200 bad datagrams
    Then the bad datagrams are counted at balancer-1 and upstream-1
    And no bad datagram was answered
    And every feed has news
    And no process has met a fault

  Scenario: A second operator's older document changes nothing
    Given the sangam deployment runs as separate processes
    When upstream-2 is set to draining
    And the platform serves the first version again
    Then every process keeps the newest version
