/** Port reports of the child processes of a soak. */
import type { ChildProcess } from 'node:child_process';
import { once } from 'node:events';

/** Waits until a process reports its port and returns it. */
export async function listeningPort(child: ChildProcess): Promise<number> {
  for (;;) {
    const [message] = (await once(child, 'message')) as [{ kind: string; port: number }];
    if (message.kind === 'listening') return message.port;
  }
}
