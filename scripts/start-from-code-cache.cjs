/**
 * Starts the bundled program in this directory with the V8 code cache from the build. Without a
 * cache, or if this release of Node.js rejects it, the program is compiled as usual.
 */
'use strict';
const { readFileSync, writeFileSync } = require('node:fs');
const Module = require('node:module');
const path = require('node:path');
const { Script } = require('node:vm');

// Ignores SIGHUP until the program has installed its handler that reloads the settings; the default
// action would end the process. The program reads its settings during the start.
process.on('SIGHUP', () => {});

const programFile = path.join(__dirname, 'router.cjs');
const cacheFile = path.join(__dirname, 'router.cache');

/** Reads the code cache; returns undefined if it does not exist. */
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
