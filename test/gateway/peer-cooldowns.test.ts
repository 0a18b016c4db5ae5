/** A router that did not answer is passed over for a while, or until it answers. */
import test from 'ava';
import { PeerCooldowns } from '../../src/state/routing/peer-cooldowns.js';

test('a router is passed over until the time is up, counted from its last silence', (t) => {
  const passedOver = new PeerCooldowns(100);
  t.false(passedOver.has('router-0', 0));
  passedOver.add('router-0', 0);
  t.true(passedOver.has('router-0', 99));
  t.false(passedOver.has('router-1', 99));
  passedOver.add('router-0', 50);
  t.true(passedOver.has('router-0', 149));
  t.false(passedOver.has('router-0', 150));
});

test('a router that answers is not passed over any more', (t) => {
  const passedOver = new PeerCooldowns(100);
  passedOver.add('router-0', 0);
  passedOver.remove('router-0');
  t.false(passedOver.has('router-0', 1));
});
