Feature: A node on the platform loads only modules that it uses

  Scenario: The modules of a node after its imports
    When the imports of deploy/node.py are made in a new process
    Then neither asyncio, ssl nor OpenSSL's digests are loaded
    And the digests of a node are those of a Python with OpenSSL

  Scenario: Eventlet's hub on an asyncio loop works as before
    When the imports of deploy/node.py are made in a new process with that hub
    Then green threads and sockets work, and asyncio is loaded

  Scenario: A start compiles no module once the build command of the platform has run
    When the last part of the build command has run on a copy without bytecode
    Then each module of the node is loaded from bytecode that its source's hash checks
