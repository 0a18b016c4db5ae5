/**
 * A process that forwards connections to any engine. It reports its address, closes all connections
 * when it receives `close`, and reports how many sockets are open when it receives `count`.
 */
import { ForwardingDecision } from '../../src/protocol/peer/forwarding-port.js';
import { TcpForwarding } from '../../src/protocol/peer/forwarding-server.js';

/** What the process reports. */
export type ForwarderReport = { readonly address: string } | { readonly sockets: number };

const listener = await new TcpForwarding().listen('127.0.0.1:0', {
  decide: () => ForwardingDecision.Accepted,
  onConnected: () => undefined,
});
process.on('message', (message) => {
  if (message === 'close') listener.close();
  else {
    const sockets = process.getActiveResourcesInfo().filter((name) => name === 'TCPSocketWrap');
    process.send?.({ sockets: sockets.length });
  }
});
process.send?.({ address: listener.address });
