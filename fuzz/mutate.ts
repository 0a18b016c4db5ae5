/**
 * Disables each protection in turn and reports whether, and after how many runs, the fuzz test
 * detects it.
 */
import { ALL_PROTECTIONS } from '../src/coordination/router/settings.js';
import { MUTATIONS } from './mutations.js';
import { fuzz } from './run.js';

process.stdout.write('protection           invariant  found  runs\n');
for (const { protection, invariant, seed, runs } of MUTATIONS) {
  const protections = { ...ALL_PROTECTIONS, [protection]: false };
  const result = await fuzz({ seed, runs, protections, maximumShrinks: 0 });
  const isFound = result.kind === 'failed' && result.report.includes(`invariant ${invariant}:`);
  const columns = [
    protection.padEnd(20),
    String(invariant).padEnd(10),
    isFound ? 'yes  ' : 'NO   ',
  ];
  process.stdout.write(`${columns.join(' ')}  ${result.runs}\n`);
  if (!isFound) process.exitCode = 1;
}
