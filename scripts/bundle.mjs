/** Bundles the program that the platform starts into one file, so that it starts fast. */
import { build } from 'esbuild';

await build({
  entryPoints: ['platform/main.ts'],
  outfile: 'target/peatspan.cjs',
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  sourcemap: false,
  logLevel: 'warning',
});
