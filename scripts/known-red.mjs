// Prints the tests that are known to fail and checks that just these are marked `test.failing`.
// KNOWN-RED.txt holds one line each: `TEST TITLE | cause | issue N`. Ava fails when such a test passes.
import { existsSync, readFileSync, readdirSync } from 'node:fs';
import { join } from 'node:path';

const LIST = 'KNOWN-RED.txt';
const MOST_ALLOWED = 3;
const MARKED_TEST = /test(?:\.serial)?\.failing\(\s*(['"`])(.+?)\1/g;

/** @returns {string[]} titles of the tests marked as failing */
function markedTitles(folder) {
  return readdirSync(folder, { withFileTypes: true }).flatMap((entry) => {
    const path = join(folder, entry.name);
    if (entry.isDirectory()) return markedTitles(path);
    if (!entry.name.endsWith('.test.ts')) return [];
    return [...readFileSync(path, 'utf8').matchAll(MARKED_TEST)].map((match) => match[2]);
  });
}

const lines = existsSync(LIST) ? readFileSync(LIST, 'utf8').split('\n') : [];
const listed = lines.filter((line) => line.trim() !== '');
const titles = new Set(listed.map((line) => line.split(' | ')[0]));
const marked = new Set(markedTitles('test'));
for (const line of listed) console.log(`known to fail: ${line}`);

const faults = [
  ...[...marked].filter((title) => !titles.has(title)).map((title) => `not listed: ${title}`),
  ...[...titles].filter((title) => !marked.has(title)).map((title) => `no such test: ${title}`),
  ...listed
    .filter((line) => line.split(' | ').length !== 3)
    .map((line) => `not three parts: ${line}`),
  ...(listed.length > MOST_ALLOWED ? [`more than ${MOST_ALLOWED} lines`] : []),
];
for (const fault of faults) console.error(`${LIST}: ${fault}`);
process.exitCode = faults.length > 0 ? 1 : 0;
