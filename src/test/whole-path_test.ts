/**
 * Sends requests through real node processes: any node accepts a caller's
 * request and returns the complete answer of a worker.
 */
import {createHash, randomBytes} from 'node:crypto';
import {afterAll, beforeAll, describe, expect, it} from 'vitest';
import {HELD_BODY_BYTES} from '../protocol/service-request.js';
import type {Fixture} from './deployment-fixture.js';
import {startFixture} from './deployment-fixture.js';

let fixture: Fixture;

beforeAll(async () => {
  fixture = await startFixture({workers: 3});
});

afterAll(async () => {
  await fixture?.stop();
});

interface RefusalCase {
  readonly name: string;
  readonly path: string;
  readonly headers: Record<string, string>;
  readonly status: number;
  readonly reason: string;
}

function buildUrl(hostId: string, path: string): string {
  const {callerAddress} = fixture.deployment.findHost(hostId);
  return `http://${callerAddress}/kona-desk${path}`;
}

describe('a request through any node is answered whole', () => {
  it.each(['desk-0', 'desk-1', 'desk-2'])('lookup through %s', async host => {
    for (let index = 0; index < 20; index++) {
      const requestId = `${host}-${index}`;
      const response = await fetch(buildUrl(host, `/tickets/${index}`), {
        headers: {'x-request-id': requestId},
      });
      expect(response.status).toBe(200);
      expect(response.headers.get('sequoiaspool-verdict')).toBe('ran');
      const body = (await response.json()) as Record<string, unknown>;
      expect(body['path']).toBe(`/tickets/${index}`);
      expect(body['requestId']).toBe(requestId);
    }
  });

  const uploads = [
    {name: 'empty', bytes: 0},
    {name: 'small', bytes: 1000},
    {name: 'as large as the buffer', bytes: HELD_BODY_BYTES},
    {name: 'several MB', bytes: 5 * 1024 * 1024},
  ];
  it.each(uploads)('upload, $name', async ({bytes}) => {
    const photo = randomBytes(bytes);
    const response = await fetch(buildUrl('desk-0', '/photos/1'), {
      method: 'PUT',
      body: photo,
    });
    const body = (await response.json()) as Record<string, unknown>;
    expect(body['length']).toBe(bytes);
    const digest = createHash('sha256').update(photo).digest('hex');
    expect(body['digest']).toBe(digest);
  });

  it('streams answers that exceed the buffer completely', async () => {
    for (const upstream of fixture.upstreams.values()) {
      upstream.control.answerBytes = 300_000;
    }
    const response = await fetch(buildUrl('desk-1', '/tickets/large'));
    const body = (await response.json()) as {padding: string};
    expect(body.padding.length).toBe(300_000);
    for (const upstream of fixture.upstreams.values()) {
      upstream.control.answerBytes = 0;
    }
  });
});

describe('a refusal says what is wrong and that nothing ran', () => {
  const refusals: RefusalCase[] = [
    {
      name: 'unknown service',
      path: '/../no-such/x',
      headers: {},
      status: 404,
      reason: 'unknown-service',
    },
    {
      name: 'malformed key',
      path: '/bookings',
      headers: {'idempotency-key': 'x'.repeat(300)},
      status: 400,
      reason: 'malformed-key',
    },
    {
      name: 'malformed time limit',
      path: '/tickets/1',
      headers: {'connect-timeout-ms': 'soon'},
      status: 400,
      reason: 'malformed-request',
    },
  ];
  it.each(refusals)('$name', async ({path, headers, status, reason}) => {
    const response = await fetch(buildUrl('desk-0', path), {
      method: 'POST',
      headers,
    });
    expect(response.status).toBe(status);
    expect(response.headers.get('content-type')).toBe(
      'application/problem+json',
    );
    const problem = (await response.json()) as Record<string, unknown>;
    expect(problem['reason']).toBe(reason);
    expect(problem['verdict']).toBe('not-run');
  });
});
