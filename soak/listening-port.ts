/** How a process of the soak reports where it listens. */
import type { ChildProcess } from 'node:child_process';
import { once } from 'node:events';

/** Waits until a process reports its port. */
export async function listeningPort(child: ChildProcess): Promise<number> {
  for (;;) {
    const [message] = (await once(child, 'message')) as [{ kind: string; port: number }];
    if (message.kind === 'listening') return message.port;
  }
}
