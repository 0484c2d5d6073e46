/**
 * A request whose body is read in bounded steps. Node.js makes an event and a
 * buffer of each chunk, however short, so that one read of a body in chunks of
 * one byte costs its readers some ten thousand turns. Short chunks are gathered
 * here, before anything else handles them, and a connection that brings many at
 * once is from then on read in turns with others like it.
 */
import {IncomingMessage} from 'node:http';
import {ChunkList} from '../../protocol/chunk-list.js';
import {takeTurns} from './read-turns.js';

/** Chunks that are shorter cost more for their framing than for their bytes. */
const SHORT_CHUNK_BYTES = 256;
/** Short chunks of a body that are passed on at once. */
const MAX_PLAIN_CHUNKS = 64;
const GATHERED_BYTES = 4096;
/** Short chunks of one body, between two turns of the event loop. */
const MAX_CHUNKS_AT_ONCE = 512;

/** A request that gathers the short chunks of its body. */
export class CountedMessage extends IncomingMessage {
  private shortChunks = 0;
  private chunksAtOnce = 0;
  private takesTurns = false;
  private gathered: ChunkList | undefined;
  private flushTimer: NodeJS.Immediate | undefined;

  /** Called by the parser with each chunk, and with null at the end. */
  override push(chunk: Buffer | null): boolean {
    if (chunk === null) {
      this.flush();
      return super.push(null);
    }
    const isShort = chunk.length < SHORT_CHUNK_BYTES;
    if (!isShort || this.shortChunks < MAX_PLAIN_CHUNKS) {
      if (isShort) this.shortChunks += 1;
      this.flush();
      return super.push(chunk);
    }
    return this.addShort(chunk);
  }

  /** Returns whether more may be read, as `push` does. */
  private addShort(chunk: Buffer): boolean {
    this.gathered ??= new ChunkList();
    this.gathered.add(chunk);
    if (this.gathered.size >= GATHERED_BYTES) this.flush();
    this.flushTimer ??= setImmediate(() => {
      this.flushTimer = undefined;
      this.chunksAtOnce = 0;
      this.flush();
    });
    this.chunksAtOnce += 1;
    if (this.chunksAtOnce >= MAX_CHUNKS_AT_ONCE && !this.takesTurns) {
      this.takesTurns = true;
      takeTurns(this);
    }
    return (
      this.chunksAtOnce < MAX_CHUNKS_AT_ONCE &&
      this.readableLength + this.gathered.size < this.readableHighWaterMark
    );
  }

  private flush(): void {
    if (!this.gathered?.size || this.destroyed) return;
    super.push(this.gathered.take());
  }
}
