/**
 * Guards the committed protocol code: compares a hash over the .proto source and the generated
 * TypeScript with the committed one. `--write` records the hash after a generation.
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
  console.error('generated protocol code is not current: run `npm run generate` and commit');
  process.exit(1);
}
