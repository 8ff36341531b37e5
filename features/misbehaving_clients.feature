Feature: Clients that do not behave take neither the node's memory nor its turns

  # A crowd of such clients ended a process by memory (issue 51). The real process runs
  # with the settings of a small machine; crowds and bounds are fixed.
  Scenario: Large bodies of legal size that come whole at once
    Given a node on a machine of 64 MB
    When 40 callers send bodies of 1 MiB and 16 MB at once
    Then an ordinary call is answered beside them
    And one is answered after they have hung up
    And the node lives within the memory and the descriptors of its machine

  Scenario: Large bodies that stop just short of their end
    Given a node on a machine of 64 MB
    When 60 callers send bodies of 1 MiB and 8 MB but for the last bytes
    Then an ordinary call is answered beside them
    And one is answered after they have hung up
    And the node lives within the memory and the descriptors of its machine

  Scenario: Chunked bodies that come piece by piece and stall
    Given a node on a machine of 64 MB
    When 60 callers send chunked bodies piece by piece and stall
    Then an ordinary call is answered beside them
    And one is answered after they have hung up
    And the node lives within the memory and the descriptors of its machine

  Scenario: Small bodies are taken beside large ones that stop short
    Given a node on a machine of 64 MB
    When 60 callers send bodies of 8 MB but for the last bytes
    Then 5 ordinary calls with a body of 2 bytes are answered beside them
    And one is answered after they have hung up

  Scenario: Small bodies are taken beside chunked ones that stall
    Given a node on a machine of 64 MB
    When 60 callers send chunked bodies piece by piece and stall
    Then 5 ordinary calls with a body of 2 bytes are answered beside them
    And one is answered after they have hung up

  Scenario: Unread answers at the ready path of the port for callers
    Given a node on a machine of 64 MB
    When 150 clients send 1000 requests of 4000 bytes for /-/ready ahead to the callers port and read nothing
    Then an ordinary call is answered beside them
    And one is answered after they have hung up
    And the node lives within the memory and the descriptors of its machine

  Scenario: Unread answers at a path that no route has
    Given a node on a machine of 64 MB
    When 150 clients send 1000 requests of 4000 bytes for /none ahead to the callers port and read nothing
    Then an ordinary call is answered beside them
    And one is answered after they have hung up
    And the node lives within the memory and the descriptors of its machine

  Scenario: Unread answers to heads of 15 KB at a path that no route has
    Given a node on a machine of 64 MB
    When 100 clients send 200 requests of 15000 bytes for /none ahead to the callers port and read nothing
    Then an ordinary call is answered beside them
    And one is answered after they have hung up
    And the node lives within the memory and the descriptors of its machine

  Scenario: Requests sent ahead by clients that have hung up
    Given a node on a machine of 64 MB
    When 150 clients send 2000 requests of 1000 bytes for /-/ready ahead to the callers port and read nothing
    Then one is answered after they have hung up
    And 5 s later the node lives within the memory and the descriptors of its machine

  Scenario: Unread answers at the port for readiness
    Given a node on a machine of 64 MB
    When 100 clients send 2000 requests of 150 bytes for /-/ready ahead to the readiness port and read nothing
    Then the platform's own readiness check is answered
    And an ordinary call is answered beside them
    And one is answered after they have hung up
    And the node lives within the memory and the descriptors of its machine

  Scenario: Unread answers at the port for heartbeats
    Given a node on a machine of 64 MB
    When 100 clients send 2000 requests of 150 bytes for /-/instances/x ahead to the heartbeats port and read nothing
    Then an ordinary call is answered beside them
    And one is answered after they have hung up
    And the node lives within the memory and the descriptors of its machine

  Scenario: Requests that wait unread in the kernel count to the machine's memory
    Given a node on a machine of 64 MB
    When 60 clients send 2000 requests of 15000 bytes for /none ahead to the callers port and read nothing
    Then the node's memory and what it has not read are within its machine

  Scenario: Silent connections at the ports for readiness, heartbeats and metrics
    Given a node on a machine of 64 MB
    When 80 clients each connect to the readiness, heartbeats and metrics ports and send nothing
    Then the platform's own readiness check is answered
    And an ordinary call is answered beside them
    And one is answered after they have hung up
    And the node lives within the memory and the descriptors of its machine

  Scenario: Random bytes at the ports for nodes
    Given a node on a machine of 64 MB
    When 100 clients send random bytes or nothing to the nodes and replication ports
    Then an ordinary call is answered beside them
    And one is answered after they have hung up
    And the node lives within the memory and the descriptors of its machine

  Scenario: Frames that stop just short of their end at the ports for nodes
    Given a node on a machine of 64 MB
    When 60 clients send frames but for the last bytes to the nodes and replication ports
    Then an ordinary call is answered beside them
    And one is answered after they have hung up
    And the node lives within the memory and the descriptors of its machine

  Scenario: More silent connections at the port for nodes than the machine has descriptors
    Given a node on a machine of 64 MB
    When 350 clients connect to the nodes port and send nothing
    Then an ordinary call is answered beside them
    And one is answered after they have hung up
    And the node lives within the memory and the descriptors of its machine

  Scenario: More silent connections at the port for callers than the machine has descriptors
    Given a node on a machine of 64 MB
    When 350 clients connect to the callers port and send nothing
    Then an ordinary call is answered beside them
    And one is answered after they have hung up
    And the node lives within the memory and the descriptors of its machine

  Scenario: Callers that trickle a head or a body
    Given a node on a machine of 64 MB
    When 80 callers send a head or a body byte by byte
    Then an ordinary call is answered beside them
    And one is answered after they have hung up
    And the node lives within the memory and the descriptors of its machine

  Scenario: Callers that read a large answer byte by byte
    Given a node on a machine of 64 MB
    When 40 callers read answers of 4 MB byte by byte
    Then an ordinary call is answered beside them
    And one is answered after they have hung up
    And the node lives within the memory and the descriptors of its machine

  Scenario: Clients that open and close connections quickly
    Given a node on a machine of 64 MB
    When 20 clients open and close 50 connections each at every port
    Then an ordinary call is answered beside them
    And one is answered after they have hung up
    And the node lives within the memory and the descriptors of its machine

  Scenario: A body of 64 MiB in calm is served through one node
    Given a node on a machine of 64 MB
    When a caller sends a body of 64 MiB to the first node
    Then the endpoint has got it whole
    And the node lives within the memory and the descriptors of its machine

  Scenario: A body of 64 MiB in calm is served through two nodes
    Given two nodes on machines of 64 MB
    When a caller sends a body of 64 MiB to the second node
    Then the endpoint has got it whole
    And the node lives within the memory and the descriptors of its machine

  Scenario: A head of 16 KB and 32 requests ahead in calm are served
    Given two nodes on machines of 64 MB
    When a caller of each node sends 32 requests ahead, with heads up to 16 KB, and reads
    Then each answer is the right one
