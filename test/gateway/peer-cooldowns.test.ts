/** Guards against peers that stay in cooldown for too long or not long enough. */
import test from 'ava';
import { PeerCooldowns } from '../../src/state/routing/peer-cooldowns.js';

test('a cooldown ends its duration after the last failure', (t) => {
  const cooldowns = new PeerCooldowns(100);
  t.false(cooldowns.has('router-0', 0));
  cooldowns.add('router-0', 0);
  t.true(cooldowns.has('router-0', 99));
  t.false(cooldowns.has('router-1', 99));
  cooldowns.add('router-0', 50);
  t.true(cooldowns.has('router-0', 149));
  t.false(cooldowns.has('router-0', 150));
});

test('a response ends the cooldown', (t) => {
  const cooldowns = new PeerCooldowns(100);
  cooldowns.add('router-0', 0);
  cooldowns.remove('router-0');
  t.false(cooldowns.has('router-0', 1));
});
