/** Guards against two processes finding the same port before either uses it. */
import {expect, it} from 'vitest';
import {PortPool} from '../measure/free-ports.js';

const POOLS = 5;
const PORTS_EACH = 20;

it('pools hand out no port twice, even before any is in use', async () => {
  const pools = Array.from({length: POOLS}, () => new PortPool());
  const found = await Promise.all(pools.map(pool => pool.find(PORTS_EACH)));
  const again = await Promise.all(pools.map(pool => pool.find(PORTS_EACH)));
  const all = [...found, ...again].flat();
  expect(new Set(all).size).toBe(2 * POOLS * PORTS_EACH);
});
