/** What a faulty replica sends in place of an answer, without end, until its caller closes. */

/** Where it does not end. */
export enum EndlessAnswer {
  /** Header after header. */
  Head = 'endlessHead',
  /** Chunk after chunk of a body. */
  Chunks = 'endlessChunks',
  /** Chunks of one byte each. */
  SmallChunks = 'endlessSmallChunks',
  /** A body whose length no caller can hold. */
  Length = 'endlessLength',
  /** Bytes that are no HTTP. */
  Junk = 'endlessJunk',
}

export const ENDLESS_ANSWERS: readonly EndlessAnswer[] = Object.values(EndlessAnswer);

const PIECE_BYTES = 65_536;
const LENGTH_BYTES = 1_000_000_000_000;
const FRAMING = /^(?:content-length|transfer-encoding):.*\r\n/gim;

function repeated(text: string): Buffer {
  return Buffer.from(text.repeat(Math.ceil(PIECE_BYTES / text.length)), 'latin1');
}

const CHUNK = `${PIECE_BYTES.toString(16)}\r\n${'z'.repeat(PIECE_BYTES)}\r\n`;

/** Sent again and again. */
const PIECES: Readonly<Record<EndlessAnswer, Buffer>> = {
  [EndlessAnswer.Head]: repeated(`x-filler: ${'y'.repeat(1_000)}\r\n`),
  [EndlessAnswer.Chunks]: Buffer.from(CHUNK, 'latin1'),
  [EndlessAnswer.SmallChunks]: repeated('1\r\nz\r\n'),
  [EndlessAnswer.Length]: repeated('z'),
  [EndlessAnswer.Junk]: repeated('q'),
};

/** What comes first; `head` is that of the right answer, with its empty line. */
export function beginEndless(kind: EndlessAnswer, head: string): string {
  const fields = head.replaceAll(FRAMING, '').replace(/\r\n$/, '');
  switch (kind) {
    case EndlessAnswer.Head:
      return fields;
    case EndlessAnswer.Chunks:
    case EndlessAnswer.SmallChunks:
      return `${fields}transfer-encoding: chunked\r\n\r\n`;
    case EndlessAnswer.Length:
      return `${fields}content-length: ${LENGTH_BYTES}\r\n\r\n`;
    case EndlessAnswer.Junk:
      return '';
  }
}

/** The bytes that follow, again and again. */
export function endlessPiece(kind: EndlessAnswer): Buffer {
  return PIECES[kind];
}
