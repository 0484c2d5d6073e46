/**
 * Bodies of calls. An upload repeats one block of random bytes, so a run of
 * many uploads of several MB holds only that block in memory; the digest of an
 * upload is computed once per size.
 */
import {createHash} from 'node:crypto';
import seedrandom from 'seedrandom';
import type {ScheduledCall} from './load-plan.js';

const BLOCK_BYTES = 64 * 1024;
const DEFAULT_UPLOAD_BYTES = 3 * 1024 * 1024;
const BYTE_VALUES = 256;

/** A body with the length and SHA-256 digest that its receiver must report. */
export interface CallBody {
  readonly length: number;
  readonly digest: string;
  readonly content: Buffer | (() => AsyncIterable<Buffer>);
}

const uploads = new Map<number, CallBody>();
let block: Buffer | undefined;

/** Builds the body of a call; returns undefined for a lookup. */
export function buildCallBody(call: ScheduledCall): CallBody | undefined {
  switch (call.stream.kind) {
    case 'lookup':
      return undefined;
    case 'booking':
      return buildBooking(call);
    case 'upload':
      return findUpload(call.stream.uploadBytes ?? DEFAULT_UPLOAD_BYTES);
  }
}

function buildBooking(call: ScheduledCall): CallBody {
  const content = Buffer.from(JSON.stringify({booking: call.key}));
  return {
    length: content.length,
    digest: createHash('sha256').update(content).digest('hex'),
    content,
  };
}

function findUpload(length: number): CallBody {
  let upload = uploads.get(length);
  if (!upload) {
    const hash = createHash('sha256');
    for (const chunk of listChunks(length)) hash.update(chunk);
    upload = {
      length,
      digest: hash.digest('hex'),
      content: () => readChunks(length),
    };
    uploads.set(length, upload);
  }
  return upload;
}

async function* readChunks(length: number): AsyncIterable<Buffer> {
  yield* listChunks(length);
}

function* listChunks(length: number): Iterable<Buffer> {
  block ??= buildBlock();
  for (let offset = 0; offset < length; offset += BLOCK_BYTES) {
    yield block.subarray(0, Math.min(BLOCK_BYTES, length - offset));
  }
}

function buildBlock(): Buffer {
  const random = seedrandom('upload');
  const bytes = Buffer.alloc(BLOCK_BYTES);
  for (let index = 0; index < BLOCK_BYTES; index++) {
    bytes[index] = Math.floor(random() * BYTE_VALUES);
  }
  return bytes;
}
