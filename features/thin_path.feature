Feature: A caller's request passes fabric, balancer and agent to an upstream and back

  Background:
    Given the sundarban deployment runs as separate processes

  Scenario: Feeds, measurements and sheets are answered by any balancer
    When 12 callers open feeds
    And each feed caller sends 2 measurements
    And 5 callers fetch 2 sheets each
    Then every write and sheet is served
    And every feed receives notifications
    And no write was run twice
    And no process reported a fault

  Scenario: Killing a balancer breaks no feed
    When 12 callers open feeds
    And balancer-2 is killed
    And each feed caller sends 1 measurement
    Then every write and sheet is served
    And every feed receives notifications
    And no feed was broken
