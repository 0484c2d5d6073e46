/** Guards against two processes finding the same port before either uses it. */
import {expect, it} from 'vitest';
import {FIRST_PORT, PortPool} from '../measure/free-ports.js';

const POOLS = 5;
const PORTS_EACH = 20;
/** The highest port that the fetch standard blocks. */
const LAST_BLOCKED_PORT = 10_080;

it('pools hand out no port twice, even before any is in use', async () => {
  const pools = Array.from({length: POOLS}, () => new PortPool());
  const found = await Promise.all(pools.map(pool => pool.find(PORTS_EACH)));
  const again = await Promise.all(pools.map(pool => pool.find(PORTS_EACH)));
  const all = [...found, ...again].flat();
  expect(new Set(all).size).toBe(2 * POOLS * PORTS_EACH);
});

// Guards against nodes that a test can't reach: 'fetch failed', 'bad port'.
it('ports begin above those that fetch refuses to connect to', async () => {
  await expect(fetch(`http://127.0.0.1:${LAST_BLOCKED_PORT}/`)).rejects.toThrow(
    expect.objectContaining({
      cause: expect.objectContaining({message: 'bad port'}) as Error,
    }),
  );
  expect(FIRST_PORT).toBeGreaterThan(LAST_BLOCKED_PORT);
});
