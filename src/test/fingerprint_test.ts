/**
 * Digests by which a request and its resends are recognized.
 */
import {PassThrough} from 'node:stream';
import {describe, expect, it} from 'vitest';
import {readHeldBody} from '../protocol/service-request.js';
import {computeFingerprint} from '../transport/request-reader.js';

const KIB = 1024;
const TARGET = {service: 'desk', path: '/bookings'};
const HEADERS = {'content-length': String(300 * KIB)};

async function computeInPieces(
  body: Buffer,
  pieceBytes: number,
): Promise<string> {
  const stream = new PassThrough({highWaterMark: body.length});
  for (let start = 0; start < body.length; start += pieceBytes)
    stream.write(body.subarray(start, start + pieceBytes));
  stream.end();
  const held = await readHeldBody(stream);
  return computeFingerprint(TARGET, 'POST', HEADERS, held);
}

// Guards against a resend that is refused as another request (key-conflict)
// because the network delivered its body in other pieces.
describe('the digest of a large body', () => {
  const body = Buffer.from(
    Array.from({length: 300 * KIB}, (value, index) => index % 251),
  );

  it.each([1, 60, 64, 65, 128, 300])(
    'is the same in pieces of %i KiB',
    async pieceKib => {
      const whole = await computeInPieces(body, 64 * KIB);
      expect(await computeInPieces(body, pieceKib * KIB)).toBe(whole);
    },
  );

  it.each([0, 40 * KIB])('differs with byte %i', async index => {
    const other = Buffer.from(body);
    other[index] = 255;
    const one = await computeInPieces(body, 64 * KIB);
    expect(await computeInPieces(other, 64 * KIB)).not.toBe(one);
  });
});
