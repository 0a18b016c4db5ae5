/**
 * Set in the order of a comparison that also counts how many elements precede one: a treap, that is
 * a binary search tree kept flat by random priorities. Pure.
 */

interface Node<Element> {
  readonly element: Element;
  readonly priority: number;
  size: number;
  left: Node<Element> | undefined;
  right: Node<Element> | undefined;
}

/** Elements in the order of a comparison in which no two elements are equal. */
export class OrderedSet<Element extends object> {
  private root: Node<Element> | undefined;
  private readonly members = new Set<Element>();
  /** State of the pseudo-random sequence of priorities, which needs no seed to keep the tree flat. */
  private state = 1;

  /** @param compare negative if `left` comes first; must not change while both are contained */
  constructor(private readonly compare: (left: Element, right: Element) => number) {}

  get size(): number {
    return this.members.size;
  }

  /** The first element; undefined if the set is empty. */
  get first(): Element | undefined {
    let node = this.root;
    while (node?.left) node = node.left;
    return node?.element;
  }

  add(element: Element): void {
    if (this.members.has(element)) return;
    this.members.add(element);
    const [before, after] = this.split(this.root, element);
    const node = {
      element,
      priority: this.nextPriority(),
      size: 1,
      left: undefined,
      right: undefined,
    };
    this.root = merge(merge(before, node), after);
  }

  /** Removes an element; returns false if it is not contained. */
  remove(element: Element): boolean {
    if (!this.members.delete(element)) return false;
    this.root = this.without(this.root, element);
    return true;
  }

  /** Number of elements that come before this one, which need not be contained. */
  countBefore(element: Element): number {
    let count = 0;
    let node = this.root;
    while (node) {
      if (this.compare(node.element, element) < 0) {
        count += sizeOf(node.left) + 1;
        node = node.right;
      } else node = node.left;
    }
    return count;
  }

  private nextPriority(): number {
    // The multiplier and increment of Numerical Recipes, modulo 2^32.
    this.state = (Math.imul(this.state, 1_664_525) + 1_013_904_223) >>> 0;
    return this.state;
  }

  /** Splits into the nodes before the element and the others. */
  private split(
    node: Node<Element> | undefined,
    element: Element,
  ): [Node<Element> | undefined, Node<Element> | undefined] {
    if (!node) return [undefined, undefined];
    if (this.compare(node.element, element) < 0) {
      const [before, after] = this.split(node.right, element);
      node.right = before;
      updateSize(node);
      return [node, after];
    }
    const [before, after] = this.split(node.left, element);
    node.left = after;
    updateSize(node);
    return [before, node];
  }

  private without(node: Node<Element> | undefined, element: Element): Node<Element> | undefined {
    if (!node) return undefined;
    if (node.element === element) return merge(node.left, node.right);
    if (this.compare(element, node.element) < 0) node.left = this.without(node.left, element);
    else node.right = this.without(node.right, element);
    updateSize(node);
    return node;
  }
}

/** Joins two trees, of which the first comes before the second. */
function merge<Element>(
  before: Node<Element> | undefined,
  after: Node<Element> | undefined,
): Node<Element> | undefined {
  if (!before) return after;
  if (!after) return before;
  if (before.priority < after.priority) {
    before.right = merge(before.right, after);
    updateSize(before);
    return before;
  }
  after.left = merge(before, after.left);
  updateSize(after);
  return after;
}

function sizeOf(node: Node<unknown> | undefined): number {
  return node?.size ?? 0;
}

function updateSize(node: Node<unknown>): void {
  node.size = sizeOf(node.left) + sizeOf(node.right) + 1;
}
