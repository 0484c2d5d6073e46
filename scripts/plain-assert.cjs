/**
 * Replaces `node:assert` in the bundles. When an assertion without a message
 * fails, Node.js reads the program's file and parses the failed line to quote it,
 * in the event loop: for the lines of a bundle that takes seconds to minutes.
 * Bytes of a faulty peer reach assertions of the HTTP client, so a failed one
 * must cost no more than its exception.
 */
'use strict';

class AssertionError extends Error {
  constructor(message) {
    super(message ?? 'an assertion of a library failed');
    this.name = 'AssertionError';
    this.code = 'ERR_ASSERTION';
  }
}

function assert(value, message) {
  if (value) return;
  throw message instanceof Error ? message : new AssertionError(message);
}

// A library that uses more of the module fails its first call, not silently.
module.exports = Object.assign(assert, {AssertionError, ok: assert});
