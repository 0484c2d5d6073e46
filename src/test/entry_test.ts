/** What an entry answers when the configuration changes under a request. */
import {expect, it} from 'vitest';
import type {EntryOptions} from '../coordination/entry.js';
import {Entry} from '../coordination/entry.js';
import {NestedCalls} from '../coordination/nested-calls.js';
import type {RefusalError} from '../protocol/reasons.js';
import {createLookup} from './stand-ins/lookup.js';

// A request whose body was still arriving when its service was removed was
// told that its route does not exist, although the route then led elsewhere.
it('a request whose service was removed may be sent again', async () => {
  const entry = new Entry({
    state: {findProfile: () => undefined},
    nestedCalls: new NestedCalls(),
  } as unknown as EntryOptions);
  const {signal} = new AbortController();
  const outcome = await entry.handleRequest(createLookup(), signal).then(
    () => 'answered',
    ({reason, verdict}: RefusalError) => `${reason} ${verdict}`,
  );
  expect(outcome).toBe('no-worker not-run');
});
