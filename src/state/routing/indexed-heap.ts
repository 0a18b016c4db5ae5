/** Binary heap that also removes elements other than the first. Pure. */

/** Elements in the order of a comparison; an element is contained at most once. */
export class IndexedHeap<Element extends object> {
  private readonly elements: Element[] = [];
  private readonly indexes = new Map<Element, number>();

  /** @param compare negative if `left` comes first; must not change while both are contained */
  constructor(private readonly compare: (left: Element, right: Element) => number) {}

  get size(): number {
    return this.elements.length;
  }

  /** The first element; undefined if the heap is empty. */
  get first(): Element | undefined {
    return this.elements[0];
  }

  add(element: Element): void {
    this.place(element, this.elements.length);
    this.moveUp(this.elements.length - 1);
  }

  /** Removes an element; returns false if it is not contained. */
  remove(element: Element): boolean {
    const index = this.indexes.get(element);
    if (index === undefined) return false;
    const last = this.elements.pop() as Element;
    this.indexes.delete(element);
    if (last === element) return true;
    this.place(last, index);
    this.moveUp(index);
    this.moveDown(this.indexes.get(last) as number);
    return true;
  }

  private place(element: Element, index: number): void {
    this.elements[index] = element;
    this.indexes.set(element, index);
  }

  private moveUp(start: number): void {
    const element = this.elements[start] as Element;
    let index = start;
    while (index > 0) {
      const parentIndex = (index - 1) >> 1;
      const parent = this.elements[parentIndex] as Element;
      if (this.compare(element, parent) >= 0) break;
      this.place(parent, index);
      index = parentIndex;
    }
    this.place(element, index);
  }

  private moveDown(start: number): void {
    const element = this.elements[start] as Element;
    let index = start;
    for (;;) {
      const childIndex = this.firstChildOf(index);
      if (childIndex === undefined) break;
      const child = this.elements[childIndex] as Element;
      if (this.compare(child, element) >= 0) break;
      this.place(child, index);
      index = childIndex;
    }
    this.place(element, index);
  }

  private firstChildOf(index: number): number | undefined {
    const leftIndex = 2 * index + 1;
    const left = this.elements[leftIndex];
    const right = this.elements[leftIndex + 1];
    if (left === undefined) return undefined;
    return right !== undefined && this.compare(right, left) < 0 ? leftIndex + 1 : leftIndex;
  }
}
