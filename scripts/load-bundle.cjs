/**
 * Runs the bundle beside this file with the code that the build compiled. Code
 * of another version of Node.js or with other options is ignored, and the bundle
 * is then compiled as usual.
 */
'use strict';
const fs = require('node:fs');
const path = require('node:path');
const process = require('node:process');
const vm = require('node:vm');

const FOLDER = path.dirname(module.filename);
const BUNDLE = path.join(FOLDER, 'node-bundle.cjs');
const CODE_CACHE = path.join(FOLDER, 'node-bundle.cache');
const WRITE_CODE_CACHE = '--write-code-cache';

function readCodeCache() {
  try {
    return fs.readFileSync(CODE_CACHE);
  } catch {
    return undefined;
  }
}

const isWriting = process.argv[2] === WRITE_CODE_CACHE;
const script = new vm.Script(
  `(function (exports, require, module) {${fs.readFileSync(BUNDLE, 'utf8')}\n})`,
  {filename: BUNDLE, cachedData: isWriting ? undefined : readCodeCache()},
);
const run = script.runInThisContext();
const bundle = {exports: {}};
run(bundle.exports, require, bundle);
if (isWriting) {
  // What has run by now is compiled too.
  fs.writeFileSync(CODE_CACHE, script.createCachedData());
} else {
  void bundle.exports.runNode();
}
