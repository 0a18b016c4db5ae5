/**
 * Checks that the generated protocol code matches its .proto sources, by comparing a hash of both
 * with the committed one. `--write` records the hash after code generation.
 */
import { createHash } from 'node:crypto';
import { readFileSync, writeFileSync } from 'node:fs';

const SOURCES = [
  'proto/peer.proto',
  'proto/cluster.proto',
  'src/protocol/peer/generated/peer_pb.ts',
  'src/protocol/peer/generated/cluster_pb.ts',
];
const HASH_FILE = 'src/protocol/peer/generated/source.sha256';

const hash = createHash('sha256');
for (const source of SOURCES) hash.update(readFileSync(source));
const actual = hash.digest('hex');

if (process.argv.includes('--write')) {
  writeFileSync(HASH_FILE, `${actual}\n`);
} else if (readFileSync(HASH_FILE, 'utf8').trim() !== actual) {
  console.error(
    'generated protocol code is out of date: run `npm run generate` and commit the result',
  );
  process.exit(1);
}
