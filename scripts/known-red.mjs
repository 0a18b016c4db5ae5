// Prints the tests that are known to fail and checks that exactly these are marked `test.failing`.
// KNOWN-RED.txt has lines of `TEST TITLES | cause | issue N`, titles separated by `; `. Ava fails if
// such a test passes. A run that is no test, and fails only at times, stands last as `by hand: ...` and
// is printed. CI's soak passes over the promise that `knownRed` of soak/regression-seeds.json names, and
// prints it. Entries of the issues in `UNCAPPED_ISSUES` name one test a line and do not count.
import { existsSync, readFileSync, readdirSync } from 'node:fs';
import { join } from 'node:path';

const LIST = 'KNOWN-RED.txt';
const MAXIMUM_ENTRIES = 3;
/** Third field of the entries that stand beyond the maximum, one test a line. */
const UNCAPPED_ISSUES = new Set(['issue 88']);
/** Start of the entry of a run that CI does not make. */
const BY_HAND = 'by hand: ';
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

/** @returns {string[]} titles of tests before the runs by hand */
function titlesOf(field) {
  const parts = field.split('; ');
  const firstRun = parts.findIndex((part) => part.startsWith(BY_HAND));
  return firstRun < 0 ? parts : parts.slice(0, firstRun);
}

const lines = existsSync(LIST) ? readFileSync(LIST, 'utf8').split('\n') : [];
const listed = lines.filter((line) => line.trim() !== '');
const titles = new Set(listed.flatMap((line) => titlesOf(line.split(' | ')[0])));
const marked = new Set(markedTitles('test'));
const isUncapped = (line) => UNCAPPED_ISSUES.has(line.split(' | ')[2]);
const capped = listed.filter((line) => !isUncapped(line));
for (const line of listed) console.log(`known to fail: ${line}`);

const regressionSeeds = JSON.parse(readFileSync('soak/regression-seeds.json', 'utf8'));
const passedOver = regressionSeeds.filter(({ knownRed }) => knownRed !== undefined);

const problems = [
  ...passedOver
    .filter(
      ({ seed }) => !listed.some((line) => line.split(' | ')[0].includes(`soak seed ${seed}`)),
    )
    .map(({ seed }) => `passed over in the soak, but not listed: soak seed ${seed}`),
  ...[...marked]
    .filter((title) => !titles.has(title))
    .map((title) => `marked as failing, but not listed: ${title}`),
  ...[...titles]
    .filter((title) => !marked.has(title))
    .map((title) => `listed, but not marked as failing: ${title}`),
  ...listed
    .filter((line) => line.split(' | ').length !== 3)
    .map((line) => `expected \`TEST TITLE | cause | issue N\`: ${line}`),
  ...listed
    .filter((line) => isUncapped(line) && line.split(' | ')[0].includes('; '))
    .map((line) => `expected one test in the line: ${line}`),
  ...(capped.length > MAXIMUM_ENTRIES ? [`more than ${MAXIMUM_ENTRIES} entries`] : []),
];
for (const problem of problems) console.error(`${LIST}: ${problem}`);
process.exitCode = problems.length > 0 ? 1 : 0;
