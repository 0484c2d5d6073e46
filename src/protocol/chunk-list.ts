/**
 * Chunks of a body that is gathered. A sender that frames each byte as a chunk
 * of its own makes each cost some hundred bytes of memory, so that small chunks
 * behind the first few are copied into blocks.
 */

const BLOCK_BYTES = 4096;
/** Chunks that are kept as they are; an ordinary body has fewer. */
const MAX_PLAIN_CHUNKS = 16;

/** Gathers chunks within about the memory of their bytes. */
export class ChunkList {
  /** Number of bytes. */
  size = 0;
  private readonly chunks: Buffer[] = [];
  private block: Buffer | undefined;
  private blockSize = 0;

  add(chunk: Buffer): void {
    this.size += chunk.length;
    const isPlain = this.chunks.length < MAX_PLAIN_CHUNKS;
    if (isPlain || chunk.length >= BLOCK_BYTES) {
      this.endBlock();
      this.chunks.push(chunk);
      return;
    }
    if (this.blockSize + chunk.length > BLOCK_BYTES) this.endBlock();
    this.block ??= Buffer.allocUnsafe(BLOCK_BYTES);
    chunk.copy(this.block, this.blockSize);
    this.blockSize += chunk.length;
  }

  /** Returns all bytes and removes them. */
  take(): Buffer {
    this.endBlock();
    this.size = 0;
    const chunks = this.chunks.splice(0);
    return chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks);
  }

  private endBlock(): void {
    if (!this.block) return;
    this.chunks.push(this.block.subarray(0, this.blockSize));
    this.block = undefined;
    this.blockSize = 0;
  }
}
