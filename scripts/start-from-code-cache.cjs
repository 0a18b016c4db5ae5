/**
 * Starts the bundled program beside this file with its compiled code from the build. Where there is no
 * such code, or another release of Node.js refuses it, the program is compiled as usual.
 */
'use strict';
const { readFileSync, writeFileSync } = require('node:fs');
const Module = require('node:module');
const path = require('node:path');
const { Script } = require('node:vm');

// A signal to read the settings again ends a process that has no handler; the program installs its own
// only when it has started, and has read its settings a moment before.
process.on('SIGHUP', () => {});

const programFile = path.join(__dirname, 'router.cjs');
const cacheFile = path.join(__dirname, 'router.cache');

/** The compiled code of the build; undefined where there is none. */
function readCodeCache() {
  try {
    return readFileSync(cacheFile);
  } catch {
    return undefined;
  }
}

const script = new Script(Module.wrap(readFileSync(programFile, 'utf8')), {
  filename: programFile,
  cachedData: readCodeCache(),
});
if (process.argv.includes('--write-code-cache')) {
  process.on('exit', () => writeFileSync(cacheFile, script.createCachedData()));
}
script.runInThisContext()(module.exports, require, module, programFile, __dirname);
