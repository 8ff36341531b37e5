Feature: A node on the platform loads only modules that it uses

  Scenario: The modules of a node after its imports
    When the imports of deploy/node.py are made in a new process
    Then neither asyncio, ssl nor OpenSSL's digests are loaded
    And the digests of a node are those of a Python with OpenSSL

  Scenario: Eventlet's hub on an asyncio loop works as before
    When the imports of deploy/node.py are made in a new process with that hub
    Then green threads and sockets work, and asyncio is loaded
